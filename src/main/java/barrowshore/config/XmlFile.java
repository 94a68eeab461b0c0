package barrowshore.config;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.xml.XMLConstants;
import javax.xml.parsers.ParserConfigurationException;
import javax.xml.parsers.SAXParserFactory;
import javax.xml.validation.Schema;
import javax.xml.validation.SchemaFactory;
import org.xml.sax.Attributes;
import org.xml.sax.InputSource;
import org.xml.sax.Locator;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;
import org.xml.sax.helpers.DefaultHandler;

/**
 * Reads and validates an XML file by a schema into elements that keep their line and column, so that checks beyond the
 * schema can name the place of an error. Refuses DTDs, external entities and files over a size limit (by default 1 MiB).
 */
public final class XmlFile {
    /** The default limit on a file's size. */
    public static final int MAX_BYTES = 1 << 20;

    private static final String DISALLOW_DOCTYPE_FEATURE = "http://apache.org/xml/features/disallow-doctype-decl";

    private XmlFile() {}

    /** An element; its attributes include the schema's defaults. */
    public record Element(String name, Map<String, String> attributes, List<Element> children, int line, int column) {
        /** The attribute's text; null if it is absent and has no default. */
        public String get(String attribute) {
            return attributes.get(attribute);
        }

        /** A numeric attribute; the schema has checked its form. */
        public double number(String attribute) {
            return Double.parseDouble(get(attribute));
        }

        /** A duration such as 500ms, in microseconds, 0 if it is absent; the schema has checked its form. */
        public long micros(String attribute) {
            String text = get(attribute);
            if (text == null) {
                return 0;
            }
            int digits = 0;
            while (Character.isDigit(text.charAt(digits))) {
                digits++;
            }
            long number = Long.parseLong(text.substring(0, digits));
            return number
                    * switch (text.substring(digits)) {
                        case "ms" -> 1_000L;
                        case "s" -> 1_000_000L;
                        default -> 60_000_000L;
                    };
        }

        /** The children with the given name. */
        public List<Element> childrenNamed(String child) {
            return children.stream().filter(e -> e.name.equals(child)).toList();
        }

        /** The first child with the given name; null if there is none. */
        public Element firstChildNamed(String child) {
            return children.stream()
                    .filter(e -> e.name.equals(child))
                    .findFirst()
                    .orElse(null);
        }

        /** An exception that names the file, this element, its place, and the error. */
        public ConfigException error(String file, String message) {
            return new ConfigException(location(file, line, column) + ": " + name + ": " + message);
        }
    }

    private static String location(String file, int line, int column) {
        return file + ": line " + line + ", column " + column;
    }

    /** Reads a file of at most {@link #MAX_BYTES}; a {@link ConfigException} says on one line what is wrong, and where. */
    public static Element read(Path file, Class<?> owner, String schema) {
        return read(file, owner, schema, MAX_BYTES);
    }

    /** The same, for a file of at most maxBytes. */
    public static Element read(Path file, Class<?> owner, String schema, int maxBytes) {
        byte[] bytes;
        try (InputStream in = Files.newInputStream(file)) {
            bytes = in.readNBytes(maxBytes + 1);
        } catch (IOException e) {
            throw new ConfigException(file + " cannot be read: " + e.getClass().getSimpleName());
        }
        return read(file.toString(), bytes, owner, schema, maxBytes);
    }

    /** Parses the content of the named file; the schema is a resource in the package of the owner. */
    public static Element read(String file, byte[] bytes, Class<?> owner, String schema) {
        return read(file, bytes, owner, schema, MAX_BYTES);
    }

    /** The same, for at most maxBytes. */
    public static Element read(String file, byte[] bytes, Class<?> owner, String schema, int maxBytes) {
        if (bytes.length > maxBytes) {
            throw new ConfigException(file + " is over " + maxBytes + " bytes");
        }
        ElementHandler handler = new ElementHandler(file);
        try {
            SAXParserFactory factory = SAXParserFactory.newInstance();
            factory.setNamespaceAware(true);
            factory.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true);
            factory.setFeature(DISALLOW_DOCTYPE_FEATURE, true);
            factory.setFeature("http://xml.org/sax/features/external-general-entities", false);
            factory.setFeature("http://xml.org/sax/features/external-parameter-entities", false);
            factory.setXIncludeAware(false);
            factory.setSchema(loadSchema(owner, schema));
            factory.newSAXParser().parse(new InputSource(new ByteArrayInputStream(bytes)), handler);
        } catch (SAXParseException e) {
            throw new ConfigException(location(file, e.getLineNumber(), e.getColumnNumber()) + ": "
                    + enclosingTag(bytes, e.getLineNumber(), e.getColumnNumber()) + simplifyMessage(e.getMessage()));
        } catch (IOException e) {
            throw new ConfigException(file + " cannot be read: " + simplifyMessage(e.getMessage()));
        } catch (SAXException | ParserConfigurationException e) {
            throw new ConfigException(file + ": " + simplifyMessage(e.getMessage()));
        }
        return handler.root;
    }

    private static Schema loadSchema(Class<?> owner, String name) throws SAXException, IOException {
        SchemaFactory factory = SchemaFactory.newInstance(XMLConstants.W3C_XML_SCHEMA_NS_URI);
        factory.setProperty(XMLConstants.ACCESS_EXTERNAL_DTD, "");
        factory.setProperty(XMLConstants.ACCESS_EXTERNAL_SCHEMA, "");
        try (InputStream in = owner.getResourceAsStream(name)) {
            if (in == null) {
                throw new IllegalStateException("the schema " + name + " is not in the jar");
            }
            return factory.newSchema(new javax.xml.transform.stream.StreamSource(in));
        }
    }

    /** The name of the tag at or before a place: the parser reports an error before it reports the element. */
    private static String enclosingTag(byte[] bytes, int line, int column) {
        String[] lines = new String(bytes, StandardCharsets.UTF_8).split("\n", -1);
        StringBuilder textBefore = new StringBuilder();
        for (int lineIndex = Math.max(0, line - 20); lineIndex < Math.min(line, lines.length); lineIndex++) {
            textBefore
                    .append(
                            lineIndex < line - 1
                                    ? lines[lineIndex]
                                    : lines[lineIndex].substring(
                                            0, Math.max(0, Math.min(column - 1, lines[lineIndex].length()))))
                    .append(' ');
        }
        int tagStart = textBefore.lastIndexOf("<");
        Matcher name = Pattern.compile("</?([A-Za-z][\\w.-]*)").matcher(textBefore);
        return tagStart >= 0 && name.find(tagStart) ? name.group(1) + ": " : "";
    }

    /** The parser's message on one line, without its error code and namespaces, which don't help to correct a file. */
    private static String simplifyMessage(String message) {
        return String.valueOf(message)
                .replaceFirst("^[A-Za-z0-9.-]+: ", "")
                .replaceAll("\\s+", " ")
                .replaceAll("\"urn:barrowshore:[a-z:0-9]*\":", "")
                .replaceAll("'\\{([A-Za-z-]+)}'", "$1");
    }

    /** Builds the tree of elements; the first error of the parser or the schema ends the reading. */
    private static final class ElementHandler extends DefaultHandler {
        private final String file;
        private final Deque<Element> openElements = new ArrayDeque<>();
        private Locator locator;
        private Element root;

        ElementHandler(String file) {
            this.file = file;
        }

        @Override
        public void setDocumentLocator(Locator locator) {
            this.locator = locator;
        }

        @Override
        public void startElement(String uri, String local, String qualified, Attributes parsedAttributes) {
            Map<String, String> attributes = new HashMap<>();
            for (int k = 0; k < parsedAttributes.getLength(); k++) {
                attributes.put(
                        parsedAttributes.getLocalName(k),
                        parsedAttributes.getValue(k).strip());
            }
            Element element = new Element(
                    local, attributes, new ArrayList<>(), locator.getLineNumber(), locator.getColumnNumber());
            if (openElements.isEmpty()) {
                root = element;
            } else {
                openElements.peek().children.add(element);
            }
            openElements.push(element);
        }

        @Override
        public void endElement(String uri, String local, String qualified) {
            openElements.pop();
        }

        @Override
        public void error(SAXParseException e) throws SAXException {
            throw e;
        }

        @Override
        public void fatalError(SAXParseException e) throws SAXException {
            throw e;
        }

        @Override
        public InputSource resolveEntity(String publicId, String systemId) throws SAXException {
            throw new SAXException(file + ": external entities are not read");
        }
    }
}
